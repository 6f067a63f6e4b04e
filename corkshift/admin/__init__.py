"""The operators' HTTP address: health, metrics, drain and resume (docs/on-call.md).

Each connection carries one HTTP/1.1 request.
"""

from corkshift.admin.server import Admin
from corkshift.admin.status import Status

__all__ = ["Admin", "Status"]
