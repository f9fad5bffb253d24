"""The process of an entry host: router and controllers in one event loop."""
