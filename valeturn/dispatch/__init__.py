"""Between the sockets and the module: one task owns the module, all others reach it through its queue."""
