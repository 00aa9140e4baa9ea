"""The base of every message, and the replies of the transport itself."""

import msgspec


class Message(msgspec.Struct, tag_field="type", omit_defaults=True, frozen=True):
    """One kind of message; a subclass names itself with ``tag="concern.name"``.

    A field that is added later needs a default, so that instances one version older
    and newer understand each other: both ignore fields that they don't know.
    """


class Ack(Message, tag="wire.ack"):
    """The message was handled and has no answer."""


class Misaddressed(Message, tag="wire.misaddressed"):
    """The message named another instance or incarnation and was not handled.

    The envelope around it names the incarnation that answers at this address.
    """


class Unsupported(Message, tag="wire.unsupported"):
    """The message's type has no handler here, so it was not handled."""


class HandlerFailed(Message, tag="wire.handler_failed"):
    """The handler raised; the message may have been handled in part."""


class Overloaded(Message, tag="wire.overloaded"):
    """Too many slow messages wait here, so this one was not handled."""
