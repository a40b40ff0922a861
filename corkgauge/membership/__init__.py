"""Membership and failure detection of gateways: SWIM with the Lifeguard extensions."""
