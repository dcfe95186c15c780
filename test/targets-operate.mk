# What operators see, and the size to design for. Included by the Makefile.

.PHONY: slopes slopes-direct report runbook

slopes: fleet-programs ## measure how each role's cost grows and write docs/CAPACITY.md's tables; within two minutes
	bin/slopes --page docs/CAPACITY.md

slopes-direct: fleet-programs ## check the lines by simulating the sharing of all 410 routers; within three minutes
	bin/slopes --direct --page docs/CAPACITY.md

report: fleet-programs ## a burn report out of a short run, one customer pushed past its objective; within two minutes
	bin/report --bin bin --out out

runbook: fleet-programs ## run every command of docs/OPERATIONS.md against a fleet; within a minute
	bin/runbook --bin bin --out out
