"""Scripted scenarios."""
