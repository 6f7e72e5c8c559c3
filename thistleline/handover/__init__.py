"""A supervised server: it follows the one that runs on its machine and hands over to the next."""
