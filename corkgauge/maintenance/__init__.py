"""Maintenance of engines and gateways: the gateways agree on which units are out, and when."""
