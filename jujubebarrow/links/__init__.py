"""Use of an instance's network link: traffic by kind, and limits on it."""
