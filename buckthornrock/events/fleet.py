"""Log events of upstream health, orders and placement (numbers 2000 to 2099)."""
