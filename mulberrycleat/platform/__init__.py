"""Adapters for the platform: its names, formats and calls. No decisions are made here."""
