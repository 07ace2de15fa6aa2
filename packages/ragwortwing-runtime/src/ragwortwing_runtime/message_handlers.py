"""Dispatches messages to the methods of a class by message type.

Handler methods are marked with the `on` decorator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

Method = Callable[..., Any]
MethodT = TypeVar("MethodT", bound=Method)

_MESSAGE_TYPE_ATTRIBUTE = "_handled_message_type"


def on(message_type: type) -> Callable[[MethodT], MethodT]:
    """Mark a method as the handler of a message type.

    Args:
        message_type: Exact class of the messages; subclasses are not handled.
    """

    def mark(method: MethodT) -> MethodT:
        setattr(method, _MESSAGE_TYPE_ATTRIBUTE, message_type)
        return method

    return mark


class MessageHandlers:
    """Base class that dispatches messages to its marked methods.

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
        """Register the marked methods of a subclass."""
        super().__init_subclass__()
        cls.handlers_by_type = dict(cls.handlers_by_type)
        for method in vars(cls).values():
            message_type = getattr(method, _MESSAGE_TYPE_ATTRIBUTE, None)
            if message_type is not None:
                cls.handlers_by_type[message_type] = method

    def handle(self, message: object, *context: Any) -> Any:
        """Call the handler of a message.

        Args:
            message: The message.
            *context: Further arguments for the handler.

        Returns:
            The handler's return value; an awaitable if the handler is asynchronous.

        Raises:
            UnhandledMessageError: The class has no handler for the type.
        """
        method = self.handlers_by_type.get(type(message))
        if method is None:
            raise UnhandledMessageError(type(message))
        return method(self, message, *context)


class UnhandledMessageError(TypeError):
    """A class has no handler for the type of a message."""

    def __init__(self, message_type: type) -> None:
        super().__init__(message_type.__name__)
        self.message_type = message_type
