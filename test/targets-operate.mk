# What operators see, and the size to design for. Included by the Makefile.

.PHONY: slopes slopes-direct report

slopes: ## measure how each role's cost grows and write docs/CAPACITY.md's tables; within two minutes
	mkdir -p bin
	$(GO) build -o bin/slopes ./test/cmd/slopes
	bin/slopes --page docs/CAPACITY.md

slopes-direct: ## check the lines by simulating the sharing of all 410 routers; within three minutes
	mkdir -p bin
	$(GO) build -o bin/slopes ./test/cmd/slopes
	bin/slopes --direct --page docs/CAPACITY.md
