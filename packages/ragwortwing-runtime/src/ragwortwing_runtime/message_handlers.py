"""Finds the `on_…` methods of a class by their decorator and calls them by message type."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

Method = Callable[..., Any]
MethodT = TypeVar("MethodT", bound=Method)

_MESSAGE_TYPE = "_handled_message_type"


def on(message_type: type) -> Callable[[MethodT], MethodT]:
    """Mark a method as the handler of a message type.

    Args:
        message_type: Exact class of the messages.
    """

    def mark(method: MethodT) -> MethodT:
        setattr(method, _MESSAGE_TYPE, message_type)
        return method

    return mark


class MessageHandlers:
    """A class whose methods handle messages.

    Example:
        >>> class Printer(MessageHandlers):
        ...     @on(str)
        ...     def on_text(self, message):
        ...         print("text", message)
        >>> Printer().handle("a")
        text a
    """

    handlers_by_type: ClassVar[dict[type, Method]] = {}

    def __init_subclass__(cls) -> None:
        """Collect the marked methods of a subclass."""
        super().__init_subclass__()
        cls.handlers_by_type = dict(cls.handlers_by_type)
        for method in vars(cls).values():
            message_type = getattr(method, _MESSAGE_TYPE, None)
            if message_type is not None:
                cls.handlers_by_type[message_type] = method

    def handle(self, message: object, *context: Any) -> Any:
        """Call the handler of a message.

        Args:
            message: The message.
            *context: Passed on to the handler.

        Returns:
            What the handler returns: an awaitable where it is asynchronous.

        Raises:
            UnhandledMessageError: The class has no handler for the type.
        """
        method = self.handlers_by_type.get(type(message))
        if method is None:
            raise UnhandledMessageError(type(message))
        return method(self, message, *context)


class UnhandledMessageError(TypeError):
    """No handler is marked for a message's type."""

    def __init__(self, message_type: type) -> None:
        super().__init__(message_type.__name__)
        self.message_type = message_type
