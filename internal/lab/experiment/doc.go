// Package experiment compares ways of routing queries: several daemons share
// simulated back ends in virtual time, under faults and at several rates. The
// daemons run the same pure cores as the real one (packages decision, replica
// and admission); the baselines run beside them on the same arrivals. One run
// is one goroutine with seeded random numbers, so the same file gives the
// same figures.
//
// Queries arrive open-loop by a Poisson process, and latency counts from the
// arrival. The model leaves out the costs of connections, encoding and
// processor time.
//
// A file in loopback mode runs doorpond's policies against real daemons and
// stand-ins of the back ends in this process instead, over real connections
// and in real time, one run after another. The baselines exist in virtual time
// only.
package experiment
