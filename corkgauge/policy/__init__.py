"""Decides which engine serves a request, and when to retry or reject it; performs no I/O."""
