# make demo   runs a fleet on loopback under load and injected faults
# make test   runs all tests
# make soak   one minute of random faults with a random seed (docs/SOAK.md)
BUILD ?= build

.PHONY: all packages build demo test soak check format clean

all: build

packages:
	@scripts/install-packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	@cmake --build $(BUILD)

demo: build
	@scripts/demo.sh $(BUILD)/bin

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 8

soak: build
	@scripts/soak.sh --programs $(BUILD)/bin

check:
	@scripts/check.sh $(BUILD)

format:
	@git ls-files '*.cc' '*.h' | grep -v '^proto/generated/' | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(BUILD).cmake.log
