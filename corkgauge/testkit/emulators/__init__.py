"""Emulators of engines, clients, discovery and flow collectors."""
