"""The entry host process: router and controllers in one event loop."""
