"""All that speaks the platform's names, formats and calls. It decides nothing."""
