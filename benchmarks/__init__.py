"""Experiments: router processes, stand-ins and load in processes of their own."""
