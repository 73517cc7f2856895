.PHONY: run test bench

run:
	tools/install-packages
	tools/build
	tools/run-demo

test:
	tools/install-packages
	tools/build
	tools/check-format
	tools/run-tests
	tools/check-lint

bench:
	tools/install-packages
	tools/build
	tools/run-benches
