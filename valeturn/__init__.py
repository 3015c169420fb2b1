"""Admission and scheduling decisions for servers that stand behind given balancers."""
