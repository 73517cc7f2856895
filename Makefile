.PHONY: run test bench

run:
	tools/install-packages
	tools/build
	tools/run-demo

test:
	tools/install-packages
	tools/build
	tools/check-format
	tools/check-lint
	tools/run-tests

bench:
	tools/install-packages
	tools/build
	tools/run-benches
