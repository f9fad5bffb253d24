"""Lark grammar of one line of a scenario."""

__all__ = ["GRAMMAR"]

GRAMMAR = r"""
start: _statement

_statement: fleet | top_up | publish | step_back | send | meanwhile | change | cut | heal | slow
    | lose | break_streams | wait | wait_ready | wait_in_force | remember | _expect
    | concurrently | end

concurrently: "concurrently"
end: "end"
meanwhile: "meanwhile" _statement

fleet: "fleet" (NAME INT)+
top_up: "top" "up" NAME INT top_up_option*
top_up_option: "payment" NAME -> payment
    | "in" NAME -> zone
publish: "publish" NAME publish_option*
publish_option: "draining" NAME -> draining
    | "base" INT -> base
    | "by" NAME -> operator
    | "in" NAME -> zone
step_back: "step" "back" NAME

send: "send" INT? KIND NAME "from" NAME "to" NAME send_option*
send_option: "key" STRING -> key
    | "pool" NAME -> pool
    | "model" NAME -> model
    | "text" STRING -> text
    | "tokens" INT -> tokens
    | "every" _seconds -> every_s

change: ACTION NAME
cut: "cut" NAME ("from" NAME)?
heal: "heal" NAME ("from" NAME)?
slow: "slow" NAME "from" NAME "by" _seconds
lose: "lose" INT "answers" "of" NAME
break_streams: "break" "streams" "of" NAME "after" INT
wait: "wait" _seconds
wait_ready: "wait" "until" NAME? "ready"
wait_in_force: "wait" "until" "in" "force" ("on" NAME+)?
remember: "remember" NAME

_expect: "expect" (outcomes | count | same | made | budget | unchanged)
outcomes: NAME state ("code" NAME)?
count: bound "of" NAME+ state
same: NAME "same" "as" NAME
made: "booking" STRING "made" bound
budget: "budget" NAME FIELD bound
unchanged: NAME "unchanged"

bound: "exactly" INT -> exactly
    | "at" "least" INT -> at_least
    | "at" "most" INT -> at_most
state: "served" -> served
    | "not" "run" -> not_run
    | "may" "have" "run" -> may_have_run
    | "broken" -> broken
    | "accepted" -> accepted
    | "refused" -> refused

_seconds: NUMBER "s"

KIND.2: /(question|booking)s?(?![\w-])/
ACTION.2: /(kill|start|stop|freeze|thaw|outage|restore)(?![\w-])/
FIELD.2: /(prepaid|spent|held|available)(?![\w-])/
NAME: /[A-Za-z][A-Za-z0-9._-]*/
STRING: /"[^"]*"/
INT: /[0-9]+/
NUMBER.-1: /[0-9]+(\.[0-9]+)?/
COMMENT: /#.*/

%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""
