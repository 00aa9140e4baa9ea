"""Rendezvous hashing: instances agree on an owner without communication."""

import hashlib
from collections.abc import Sequence

SCORE_BYTES = 8


def rank(key: bytes, ids: Sequence[str]) -> list[str]:
    """Return ``ids`` in descending order of their scores for ``key``.

    Removing an id changes the owner of only those keys that it owned.
    """
    return sorted(ids, key=lambda id_: (_score(key, id_), id_), reverse=True)


def owner(key: bytes, ids: Sequence[str]) -> str:
    """Return the owner of ``key``: the id with the highest score.

    Raises
    ------
    ValueError
        If ``ids`` is empty.
    """
    return max(ids, key=lambda id_: (_score(key, id_), id_))


def _score(key: bytes, id_: str) -> bytes:
    digest = hashlib.blake2b(key, digest_size=SCORE_BYTES, person=b"rendezvous")
    digest.update(b"\0")
    digest.update(id_.encode())
    return digest.digest()
