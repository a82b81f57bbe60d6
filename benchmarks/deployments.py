"""Defines the two users' deployments and the requests of their callers.

Engines, regions and caller counts have the sizes of the real deployments.
Prompt and output lengths are assumptions: with them, a decode engine at its
limit holds about a dozen requests, and a prefill takes as long as some tens
of decode steps.
"""

import math
from dataclasses import dataclass

from currantdeal.core import (
    CallerId,
    Role,
    Upstream,
    UpstreamKind,
    Work,
    WorkKind,
)
from currantdeal.policy import BLOCK_TOKENS, UserWeights
from currantdeal.testing.engine_model import EngineModel

MODEL = "assistant"
MAX_OUTPUT_TOKENS = 2_000
LENGTH_SIGMA = 0.5


@dataclass(frozen=True, kw_only=True)
class CallerProfile:
    """The requests of one caller.

    Parameters
    ----------
    share : float
        Share of all requests.
    prefix_tokens : int
        Number of leading tokens that all its prompts have in common.
    prompt_tokens, output_tokens : int
        Medians of the log-normally distributed lengths.
    prefix : str
        Callers with the same prefix name send the same leading tokens; empty
        for a prefix that no other caller sends.
    """

    caller: CallerId
    region: str
    share: float
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    prefix: str = ""


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """One user's engines, callers and targets.

    Parameters
    ----------
    ttft_target_s, itl_target_s : float
        Latency targets: time to first output, mean time between outputs.
    """

    name: str
    regions: tuple[str, ...]
    prefill_engines: int
    decode_engines: int
    weights: UserWeights
    callers: tuple[CallerProfile, ...]
    ttft_target_s: float
    itl_target_s: float
    model: EngineModel
    entries: int = 8

    def upstreams(self):
        """Return the engines as their announcements describe them."""
        roles = [Role.PREFILL] * self.prefill_engines
        roles += [Role.DECODE] * self.decode_engines
        return tuple(
            self._upstream(index, role) for index, role in enumerate(roles)
        )

    def _upstream(self, index, role):
        region = self.regions[index % len(self.regions)]
        return Upstream(
            upstream_id=f"{role.value}-{index}",
            incarnation=1,
            address=f"127.0.0.1:{9000 + index}",
            kind=UpstreamKind.ENGINE,
            roles=(role,),
            targets=(MODEL,),
            region=region,
            data_center=f"{region}-1",
            pieces_total=self.model.pieces_total,
            tokens_per_piece=self.model.tokens_per_piece,
            link_bytes_per_s=self.model.link_bytes_per_s,
            kv_bytes_per_token=self.model.kv_bytes_per_token,
        )

    def capacity_per_s(self, callers=()):
        """Return the maximum requests a second that the engines can serve.

        It is the lesser of the prefill throughput without caching and the
        throughput of the decode engines within their memory and the latency
        target between outputs.

        Parameters
        ----------
        callers : tuple of CallerProfile
            Callers that send; the deployment's own callers if empty.
        """
        prompt, output = _mean_lengths(callers or self.callers)
        prefill_s = self.model.prefill_s(tokens=prompt)
        prefill_per_s = self.prefill_engines / prefill_s
        by_memory = self.model.pieces_total / self.model.pieces(
            prompt + output
        )
        gap_s = self.itl_target_s - self.model.step_base_s
        batch = min(by_memory, gap_s / self.model.step_per_request_s)
        hold_s = output * self.model.step_s(batch=batch)
        return min(prefill_per_s, self.decode_engines * batch / hold_s)


def draw_work(rng, profile, *, request_id, now_s, deployment):
    """Return one request's work and its true output length."""
    own = _draw_length(rng, profile.prompt_tokens)
    output = min(MAX_OUTPUT_TOKENS, _draw_length(rng, profile.output_tokens))
    blocks = profile.prefix_tokens // BLOCK_TOKENS
    prefix_key = stable_hash(profile.prefix or profile.caller)
    work = Work(
        request_id=request_id,
        caller=profile.caller,
        kind=WorkKind.CHAT,
        target=MODEL,
        region=profile.region,
        prompt_tokens=profile.prefix_tokens + own,
        max_output_tokens=MAX_OUTPUT_TOKENS,
        prefix_keys=tuple(prefix_key + index for index in range(blocks)),
        arrived_s=now_s,
        deadline_s=now_s + deployment.ttft_target_s,
    )
    return work, output


def _mean_lengths(callers):
    mean_factor = math.exp(LENGTH_SIGMA**2 / 2)
    prompt = sum(
        caller.share
        * (caller.prefix_tokens + caller.prompt_tokens * mean_factor)
        for caller in callers
    )
    output = sum(
        caller.share * caller.output_tokens * mean_factor for caller in callers
    )
    return int(prompt), int(output)


def stable_hash(text):
    """Return a hash of a text that is the same in every process."""
    number = 0
    for char in text:
        number = (number * 131 + ord(char)) % 1_000_000_007
    return number * 1_000


def _draw_length(rng, median):
    return max(1, int(median * math.exp(rng.gauss(0.0, LENGTH_SIGMA))))


def _callers(names, regions, *, prefix, prompt, outputs):
    return tuple(
        CallerProfile(
            caller=CallerId(name),
            region=regions[index % len(regions)],
            share=1.0 / len(names),
            prefix_tokens=prefix,
            prompt_tokens=prompt,
            output_tokens=outputs[index % len(outputs)],
        )
        for index, name in enumerate(names)
    )


_NUBE_REGIONS = ("bizkaia", "cantabria", "asturias")
_EKUNDAYO_REGIONS = ("lagos", "abuja", "ibadan")

NUBE = Deployment(
    name="nube",
    regions=_NUBE_REGIONS,
    prefill_engines=4,
    decode_engines=6,
    weights=UserWeights(goodput=1.0, wasted_prefill=3.0),
    callers=_callers(
        tuple(f"bakery-{index}" for index in range(12)),
        _NUBE_REGIONS,
        prefix=2_048,
        prompt=1_000,
        outputs=(150, 300, 500),
    ),
    ttft_target_s=2.0,
    itl_target_s=0.04,
    model=EngineModel(),
)

EKUNDAYO = Deployment(
    name="ekundayo",
    regions=_EKUNDAYO_REGIONS,
    prefill_engines=2,
    decode_engines=4,
    weights=UserWeights(goodput=3.0, wasted_prefill=1.0),
    callers=_callers(
        tuple(f"office-{index}" for index in range(9)),
        _EKUNDAYO_REGIONS,
        prefix=512,
        prompt=2_000,
        outputs=(200, 400, 700),
    ),
    ttft_target_s=4.0,
    itl_target_s=0.04,
    model=EngineModel(),
)

DEPLOYMENTS = (NUBE, EKUNDAYO)
