#!/usr/bin/env bash
# Daemons that are shutting down take requests by a configuration that has been replaced.
exec "$(dirname "$0")/../standins-3/run-case" case_stopping "$(dirname "$0")"
