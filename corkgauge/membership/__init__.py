"""Who else is there: fellows named by operators, views of them that agree in time, datagrams that only they
can write."""
