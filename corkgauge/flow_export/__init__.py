"""Export of flow records for all connections as IPFIX or NetFlow v9, with collector failover."""
