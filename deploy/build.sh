#!/bin/sh
# Installs the gateway and its libraries into target/deps.
set -eu
deps=target/deps
stamp=target/requirements.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  mkdir -p "$deps"
  python3 -m pip install -q --no-deps --disable-pip-version-check \
    --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
for package in packages/core/nutmegpost_core \
  packages/router/nutmegpost_router platform/nutmegpost_platform; do
  name=$(basename "$package")
  rm -rf "${deps:?}/$name"
  cp -r "$package" "$deps/$name"
done
python3 -m compileall -q "$deps"
