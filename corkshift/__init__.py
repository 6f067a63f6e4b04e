"""corkshift: the node of a cache load balancer, which runs the decisions of forkweir on sockets."""
