"""Taking machines out for work, in an order that the gateways settle among themselves."""
