DEPLOYMENT ?= lone_star
MODULES := core base platform agent entry relay fakes wpctl proof
BIN := $(CURDIR)/bin

SEEDS ?= 10

.PHONY: build demo test soak chaos mutants docs fuzz bench slopes

build:
	@mkdir -p $(BIN)
	@for m in entry relay agent fakes wpctl proof; do (cd $$m && go build -o $(BIN)/$$m .) || exit 1; done

# PLATFORM=1: relays over a stand-in of the users' platform.
demo: build
ifdef PLATFORM
	@$(BIN)/proof platform
else
	@$(BIN)/proof demo --bin $(BIN) --deployment $(DEPLOYMENT)
endif

# Relays under overlapping faults, by seed. FROM=N plays the seeds from N on.
soak: build
	@$(BIN)/proof soak --seeds $(SEEDS) $(if $(FROM),--from $(FROM))

test:
	@bash .ci/test

# Pairs of failures over a small fleet, by seed.
chaos: build
	@$(BIN)/proof chaos --seeds $(SEEDS)

# Removes each mechanism in a copy and sees its check fail.
mutants: build
	@$(BIN)/proof mutants

# The policy under load and faults against baselines: about 50 min. Fewer:
# bin/proof bench --repeats 1 --scenarios 'steady|zone'
bench: build
	@$(BIN)/proof bench

# What a process costs as its surroundings grow: about 5 min.
slopes: build
	@$(BIN)/proof slopes

docs: build
	@$(BIN)/proof docs

FUZZTIME ?= 30s
fuzz:
	cd core && go test ./conf -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	cd core && go test ./wire -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME)
	cd core && go test ./roster -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	cd core && go test ./ticket -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	cd agent && go test ./engine -run '^$$' -fuzz FuzzTokens -fuzztime $(FUZZTIME)
	cd platform && go test . -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	cd platform && go test . -run '^$$' -fuzz FuzzHeaders -fuzztime $(FUZZTIME)
	cd relay && go test ./front -run '^$$' -fuzz FuzzRequests -fuzztime $(FUZZTIME)
	cd relay && go test ./pool -run '^$$' -fuzz FuzzAnswers -fuzztime $(FUZZTIME)
	cd entry && go test ./front -run '^$$' -fuzz FuzzBody -fuzztime $(FUZZTIME)
