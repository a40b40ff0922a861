"""Flow export: what each connection carried, as NetFlow v9 or IPFIX, through lost collectors."""
