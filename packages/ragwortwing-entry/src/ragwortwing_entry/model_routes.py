"""OpenAI-compatible routes for model engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ragwortwing_policy.routing import BackendKind

from .accounts import authenticate, resolve_request_class
from .answers import json_answer
from .caller_faults import CallerFault, CallerFaultCode
from .caller_request import CallerRequest
from .chat_request import ChatRequest, read_chat_request
from .request_context import (
    AUTHORIZATION,
    REQUEST_CLASS,
    RequestContext,
    check_content_type,
    forwarded_headers,
)
from .routes import route

if TYPE_CHECKING:
    from ragwortwing_policy.configuration import Configuration

    from .entry_app import EntryApp
    from .http_call import CallerLeft, HttpCall

CHAT_PATH = "/v1/chat/completions"


@route("GET", "/v1/models")
async def list_models(app: EntryApp, call: HttpCall) -> None:
    """List the available models."""
    configuration = await app.require_configuration(call)
    if configuration is None:
        return
    account = authenticate(configuration, call.header(AUTHORIZATION))
    if isinstance(account, CallerFault):
        await app.answer_fault(call, account)
        return
    models = [{"id": name, "object": "model"} for name in configuration.models_by_name]
    await call.answer(json_answer({"object": "list", "data": models}))


@route("POST", CHAT_PATH)
async def complete_chat(app: EntryApp, call: HttpCall) -> None:
    """Run a chat completion."""
    configuration = await app.require_configuration(call)
    if configuration is None:
        return
    request = await _read_request(app, call, configuration)
    if isinstance(request, CallerFault):
        await app.answer_fault(call, request)
    elif isinstance(request, CallerRequest):
        await app.requests.serve(call, request, configuration)


async def _read_request(
    app: EntryApp, call: HttpCall, configuration: Configuration
) -> CallerRequest | CallerFault | CallerLeft:
    account = authenticate(configuration, call.header(AUTHORIZATION))
    if isinstance(account, CallerFault):
        return account
    class_name = resolve_request_class(account, call.header(REQUEST_CLASS))
    if isinstance(class_name, CallerFault):
        return class_name
    wrong_type = check_content_type(call)
    if wrong_type is not None:
        return wrong_type
    body = await call.read_body(app.settings.requests)
    if not isinstance(body, bytes):
        return body
    chat = read_chat_request(body)
    if isinstance(chat, CallerFault):
        return chat
    if chat.model not in configuration.models_by_name:
        return CallerFault(CallerFaultCode.UNKNOWN_MODEL, f"there is no model {chat.model!r}")
    context = app.new_context(configuration, account.name, class_name)
    return _build_request(context, call, chat, body)


def _build_request(
    context: RequestContext, call: HttpCall, chat: ChatRequest, body: bytes
) -> CallerRequest:
    return CallerRequest(
        request_id=context.request_id,
        account=context.account,
        request_class=context.request_class.name,
        tier=context.request_class.tier,
        kind=BackendKind.ENGINE,
        target=chat.model,
        method="POST",
        path=CHAT_PATH,
        headers=forwarded_headers(call),
        body=body,
        arrived_at=context.arrived_at,
        deadline=context.deadline,
        streamed=chat.stream,
        prompt_tokens=chat.prompt_tokens,
        expected_tokens=chat.expected_tokens,
        prefix_hash=chat.prefix_hash,
    )
