DEPLOYMENT ?= lone_star
MODULES := core base platform agent entry relay fakes wpctl proof
BIN := $(CURDIR)/bin

SEEDS ?= 10

.PHONY: build demo test soak streams chaos mutants docs fuzz bench regress

build:
	@mkdir -p $(BIN)
	@for m in entry relay agent fakes wpctl proof; do (cd $$m && go build -o $(BIN)/$$m .) || exit 1; done

# With PLATFORM=1, runs relays on a stand-in of the users' platform; otherwise
# runs the example DEPLOYMENT (lone_star or abay).
demo: build
ifdef PLATFORM
	@$(BIN)/proof platform
else
	@$(BIN)/proof demo --bin $(BIN) --deployment $(DEPLOYMENT)
endif

# Runs relays under overlapping faults chosen by seed. FROM=N sets the first seed.
soak: build
	@$(BIN)/proof soak --seeds $(SEEDS) $(if $(FROM),--from $(FROM))

# Runs as many relays as a large deployment has, loses them again and again under load, and
# judges each stream. FROM=N sets the first seed, ARGS further options of the command.
streams: build
	@$(BIN)/proof streams --seeds $(SEEDS) $(if $(FROM),--from $(FROM)) $(ARGS)

test:
	@bash .ci/test

# Runs a small fleet under pairs of faults chosen by seed.
chaos: build
	@$(BIN)/proof chaos --seeds $(SEEDS)

# Removes each mechanism in a copy of the repository and verifies that its test
# fails.
mutants: build
	@$(BIN)/proof mutants

# Measures the serving policy under load and faults, compared with baselines. Takes
# about 50 min. To run a part of it:
# bin/proof bench --repeats 1 --scenarios 'steady|zone'
bench: build
	@$(BIN)/proof bench

# Plays the days of deploy/regress.yaml with the users' bench, whose path is BENCH,
# on the site files in the directory SITES, and says what fell. DAYS selects some by
# a regular expression.
regress: build
	@$(BIN)/proof regress --bench "$(BENCH)" --sites "$(SITES)" $(if $(DAYS),--only '$(DAYS)')

docs: build
	@$(BIN)/proof docs

FUZZTIME ?= 30s
fuzz:
	cd base && go test ./http1 -run '^$$' -fuzz FuzzHeads -fuzztime $(FUZZTIME)
	cd core && go test ./conf -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	cd core && go test ./wire -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME)
	cd core && go test ./roster -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	cd core && go test ./ticket -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	cd agent && go test ./engine -run '^$$' -fuzz FuzzTokens -fuzztime $(FUZZTIME)
	cd platform && go test . -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	cd platform && go test . -run '^$$' -fuzz FuzzPage -fuzztime $(FUZZTIME)
	cd platform && go test . -run '^$$' -fuzz FuzzHeaders -fuzztime $(FUZZTIME)
	cd relay && go test ./front -run '^$$' -fuzz FuzzRequests -fuzztime $(FUZZTIME)
	cd relay && go test ./pool -run '^$$' -fuzz FuzzAnswers -fuzztime $(FUZZTIME)
	cd entry && go test ./front -run '^$$' -fuzz FuzzBody -fuzztime $(FUZZTIME)
