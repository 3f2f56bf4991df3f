#!/usr/bin/env bash
. "$(dirname "$0")/../run-case.sh"
