"""The operators' address: health, figures, drain and resume, one HTTP/1.1 call a connection (docs/on-call.md)."""

from corkshift.admin.server import Admin
from corkshift.admin.status import Status

__all__ = ["Admin", "Status"]
