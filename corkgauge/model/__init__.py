"""Simulations and model checking of gateway protocols; never imported by a serving gateway.

They cover fleet sizes and orders of events that tests with real sockets cannot reach.
"""
