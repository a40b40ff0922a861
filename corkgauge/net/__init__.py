"""The real workload manager: the gateway's decisions on live sockets."""
