"""The inner protocol between instances: messages, frames and transport."""
