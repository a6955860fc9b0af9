"""Adapter to the users' platform: translation only, no decisions."""
