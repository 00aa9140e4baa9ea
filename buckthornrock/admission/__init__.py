"""Rate limits per client account, fair queues per rank, and early refusal."""

from .port import AdmissionPort, AdmissionQuery, Ticket
from .unlimited import open_unlimited

__all__ = ["AdmissionPort", "AdmissionQuery", "Ticket", "open_unlimited"]
