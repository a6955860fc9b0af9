"""Adapter to the users' platform: translates formats and makes no decisions."""
