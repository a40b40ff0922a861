"""Network part of the gateway: client, engine and discovery connections on sockets."""
