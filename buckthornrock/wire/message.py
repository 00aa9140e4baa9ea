"""The base class of messages, and the replies that the transport itself sends."""

import msgspec


class Message(msgspec.Struct, tag_field="type", omit_defaults=True, frozen=True):
    """One type of message; a subclass sets its name with ``tag="subsystem.name"``.

    A field that is added later needs a default, so that instances of adjacent versions
    understand each other: decoders ignore fields that they don't know.
    """


class Ack(Message, tag="wire.ack"):
    """The message was handled and has no other reply."""


class Misaddressed(Message, tag="wire.misaddressed"):
    """The message named another instance or incarnation and was not handled.

    The envelope of this reply names the incarnation that listens at the address.
    """


class Unsupported(Message, tag="wire.unsupported"):
    """The receiver has no handler for the message type, so it was not handled."""


class HandlerFailed(Message, tag="wire.handler_failed"):
    """The handler raised an exception; the message may have been handled in part."""


class Overloaded(Message, tag="wire.overloaded"):
    """The receiver has too many slow messages, so this one was not handled."""
