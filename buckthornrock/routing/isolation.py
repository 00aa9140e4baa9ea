"""Cache salts that isolate the caches of client accounts, members and weights."""

import hashlib
import hmac

SALT_BYTES = 16


def cache_salt(
    secret: str,
    client_account: str,
    member: str,
    model: str,
    weights_version: str,
    adapter: str = "",
) -> str:
    """Return the hexadecimal salt for one owner and one weights version.

    An owner is a member of a client account. The salt is the key of the block hashes
    and is sent to the engine, so that neither side can match blocks of another owner
    or of other weights.
    """
    parts = (client_account, member, model, weights_version, adapter)
    # Length prefixes make ("a", "bc") and ("ab", "c") give different messages.
    message = b"".join(
        len(raw).to_bytes(4, "big") + raw for raw in (part.encode() for part in parts)
    )
    digest = hmac.new(secret.encode(), message, hashlib.sha256).digest()
    return digest[:SALT_BYTES].hex()
