"""Limits by client account, fair queues by rank, and refusal of late work."""

from .port import AdmissionPort, AdmissionQuery, Ticket
from .unlimited import open_unlimited

__all__ = ["AdmissionPort", "AdmissionQuery", "Ticket", "open_unlimited"]
