DEPLOYMENT ?= lone_star
MODULES := core base agent entry fakes wpctl proof
BIN := $(CURDIR)/bin

.PHONY: build demo test

build:
	@mkdir -p $(BIN)
	@for m in entry agent fakes wpctl proof; do (cd $$m && go build -o $(BIN)/$$m .) || exit 1; done

demo: build
	@$(BIN)/proof demo --bin $(BIN) --deployment $(DEPLOYMENT)

test:
	@bash .ci/test
