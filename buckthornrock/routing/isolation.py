"""Keys that keep the caches of client accounts, members and weights apart."""

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
    """Return the hexadecimal salt for one owner and one version of the weights.

    The salt keys the block hashes and is sent to the engine, so that neither side
    can match blocks of another owner or of other weights.
    """
    parts = (client_account, member, model, weights_version, adapter)
    # Length prefixes keep ("a", "bc") and ("ab", "c") apart.
    message = b"".join(
        len(raw).to_bytes(4, "big") + raw for raw in (part.encode() for part in parts)
    )
    digest = hmac.new(secret.encode(), message, hashlib.sha256).digest()
    return digest[:SALT_BYTES].hex()
