# What operators see. Included by the Makefile.

.PHONY: report runbook

report: fleet-programs ## a burn report out of a short run, one customer pushed past its objective; within two minutes
	bin/report --bin bin --out out

runbook: fleet-programs ## run every command of docs/OPERATIONS.md against a fleet; within a minute
	bin/runbook --bin bin --out out
