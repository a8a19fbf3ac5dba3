# Shortcuts for developers. Build and CI need only Go; `proto` also needs protoc.
TOOL = go tool -modfile=tools/go.mod

.PHONY: build test ci fmt proto

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

ci:
	bash .ci/run

fmt:
	$(TOOL) gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

proto:
	go build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/bin:$$PATH" protoc --proto_path=proto --go_out=. --go_opt=module=github.com/sapphirewall/sapphirewall proto/*.proto
