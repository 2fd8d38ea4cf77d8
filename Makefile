# Targets: all, check, check-asan, demo, demo-sessions, bench, format,
# format-check, lint, clean.
CC = gcc
BUILD = build
PACKAGES = apr-1 apr-util-1 libzmq glib-2.0 libcjson libprotobuf-c \
  libmicrohttpd libcurl libpq libsodium zlib
CFLAGS = -O2 -g
WARN = -std=c11 -D_GNU_SOURCE -Wall -Wextra -Werror
INCLUDES := $(shell pkg-config --cflags $(PACKAGES))
LIBS := $(shell pkg-config --libs $(PACKAGES)) -lm -lpthread
ALL_CFLAGS = $(WARN) $(CFLAGS) $(INCLUDES) -MMD -MP

SOURCES := $(wildcard src/*.c src/*/*.c platform/*.c)
LIB_SOURCES := $(filter-out src/command/main.c,$(SOURCES))
LIB_OBJECTS := $(LIB_SOURCES:%.c=$(BUILD)/%.o)
OWN := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] src/*/*.[ch] platform/*.[ch] \
  tests/*.[ch] tests/*/*.[ch] bench/*.[ch]))
UNITS := $(patsubst tests/unit/%.c,$(BUILD)/tests/%,$(wildcard tests/unit/*.c))
BENCHES := $(patsubst bench/%.c,$(BUILD)/bench/%,$(wildcard bench/bench_*.c))

all: $(BUILD)/coltsfootstage $(BUILD)/target $(BUILD)/group $(BUILD)/soak \
  $(BUILD)/crowd

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@$(CC) $(ALL_CFLAGS) -c $< -o $@

$(BUILD)/libcore.a: $(LIB_OBJECTS)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/coltsfootstage: $(BUILD)/src/command/main.o $(BUILD)/libcore.a
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

$(BUILD)/target: $(BUILD)/tests/standin/target.o
	$(CC) $(CFLAGS) $^ -o $@

$(BUILD)/group: $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/standin/group*.c))
	$(CC) $(CFLAGS) $^ -o $@

$(BUILD)/crowd: $(BUILD)/tests/clients/crowd.o
	$(CC) $(CFLAGS) $^ -o $@

$(BUILD)/soak: $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))
	$(CC) $(CFLAGS) $^ -o $@ $(shell pkg-config --libs libcurl) -lpthread

WORLD_OBJECTS := $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/world/*.c))

$(BUILD)/tests/%: $(BUILD)/tests/unit/%.o $(WORLD_OBJECTS) $(BUILD)/libcore.a
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS) -lcmocka

$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BUILD)/bench/common.o $(WORLD_OBJECTS) \
  $(BUILD)/libcore.a
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

check: all $(UNITS)
	BUILD=$(BUILD) tests/run

check-asan:
	$(MAKE) BUILD=build/asan CHECK_SHORT=1 \
	  CFLAGS="-O1 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined" check

demo: all
	BUILD=$(BUILD) tests/demo

demo-sessions: all
	BUILD=$(BUILD) tests/process/sessions.sh

bench: $(BENCHES)
	BUILD=$(BUILD) bench/run

format:
	clang-format -i $(OWN)

format-check:
	clang-format --dry-run --Werror $(OWN)

lint:
	printf '%s\n' $(filter %.c,$(OWN)) | xargs -P 8 -I{} clang-tidy --quiet {} -- \
	  -std=c11 -D_GNU_SOURCE $(INCLUDES)

clean:
	rm -rf $(BUILD)

.PHONY: all check check-asan demo demo-sessions bench format format-check lint clean
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
