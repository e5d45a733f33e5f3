# Entry points; the build itself is Meson's.
.PHONY: all check demo bench
all:
	@ci/setup
	@[ -f build/release/build.ninja ] || meson setup build/release --buildtype=release >/dev/null
	@ninja -C build/release --quiet

check:
	@ci/setup
	@ci/check

demo: all
	@ci/demo

bench: all
	@ci/bench
