"""corkshift: a cache load balancer's node on real sockets, round the decisions of forkweir."""
