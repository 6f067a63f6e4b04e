"""forkweir: the load-balancing decisions of a proxy in front of cache servers and a slow origin."""

from forkweir.choice import Balancer
from forkweir.settings import Action, ClassSpec, Server, Settings

__all__ = ["Action", "Balancer", "ClassSpec", "Server", "Settings"]
__version__ = "0.1.0"
