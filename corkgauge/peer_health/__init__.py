"""Peer health reports, fleet-wide retry throttling and transfer of unused slow-start permits."""
