"""Hosts of a zone: who is there, who is slow, who is gone."""
