"""Where designs are tried at sizes, and in orders of events, that sockets do not reach; never served from."""
