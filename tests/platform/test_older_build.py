"""Documents of an older release are decoded in full and encoded to the same bytes.

The bytes were encoded by version 0.1.0. Guards against a field, a tag or an array
position that changes while other programs still use the older format.
"""

import msgspec
import pytest

from buckthornrock.entry import parsing as entry_parsing
from buckthornrock.load import client as load_client
from buckthornrock.load import results as load_results
from buckthornrock.load import spec as load_spec
from buckthornrock.operator import orders as operator_orders
from buckthornrock.operator import profiles as operator_profiles
from buckthornrock.platform import configuration as platform_configuration
from buckthornrock.platform import engine_control as platform_engine_control
from buckthornrock.platform import settings as platform_settings
from buckthornrock.platform import store_client as platform_store_client
from buckthornrock.platform import upstream_entries as platform_upstream_entries
from buckthornrock.store import instance_list as store_instance_list
from buckthornrock.store import kv_http as store_kv_http
from buckthornrock.telemetry import burn as telemetry_burn
from buckthornrock.telemetry import decisions as telemetry_decisions
from buckthornrock.upstreams import engine_messages as upstreams_engine_messages
from buckthornrock.upstreams import order_messages as upstreams_order_messages

ENCODED = [
    (
        entry_parsing.CompletionFields,
        msgspec.json,
        (
            b'{"model":"s50","prompt":"s51","messages":[{"s52":"any53"}],"max_tokens"'
            b':1054,"stream":true,"adapter":"s55","prefix_levels":[1056],"n":1057,"be'
            b'st_of":1058,"echo":true}'
        ),
    ),
    (load_client._Event, msgspec.json, (b'{"choices":[{"k":1}]}')),
    (
        load_results.Group,
        msgspec.json,
        (
            b'{"work_class":"s119","rank":1120,"account_size":"s121","n_sent":1122,"n'
            b'_on_time":1123,"n_by_kind":{"s124":1125},"n_by_code":{"s126":1127},"ttf'
            b't":"s128"}'
        ),
    ),
    (
        load_results.LoadResult,
        msgspec.json,
        (
            b'{"mix":"s129","seed":1130,"rate_per_s":131.5,"duration_ms":132.5,"group'
            b's":[{"work_class":"s133","rank":1134,"account_size":"s135","n_sent":113'
            b'6,"n_on_time":1137,"n_by_kind":{"s138":1139},"n_by_code":{"s140":1141},'
            b'"ttft":"s142"}],"on_time_by_account":{"s143":[1144]},"n_skipped":1145,"'
            b'worst_lateness_ms":146.5,"processor_share":147.5,"note":"s148"}'
        ),
    ),
    (
        load_spec.Flood,
        msgspec.json,
        (b'{"work_class":"s149","at_ms":150.5,"for_ms":151.5,"factor":152.5}'),
    ),
    (
        load_spec.LoadSpec,
        msgspec.json,
        (
            b'{"targets":["s153"],"mix":"s154","rate_per_s":155.5,"duration_ms":156.5'
            b',"keys":{"s157":"s158"},"seed":1159,"shift_period_ms":160.5,"deferred_s'
            b'hare":161.5,"floods":[{"work_class":"s162","at_ms":163.5,"for_ms":164.5'
            b',"factor":165.5}],"shard":1166,"n_shards":1167,"start_at_wall_ms":1168,'
            b'"grace_ms":169.5,"note":"s170"}'
        ),
    ),
    (
        operator_orders._ApplyBody,
        msgspec.json,
        (
            b'{"expected_version":1171,"placement":{"min_serving_share":172.5,"failur'
            b'e_domains":{"s173":{"model":"s174","weights_version":"s175","adapters":'
            b'["s176"],"role":"s177"}},"upstreams":{"s178":{"model":"s179","weights_v'
            b'ersion":"s180","adapters":["s181"],"role":"s182"}}}}'
        ),
    ),
    (
        operator_orders._OrderBody,
        msgspec.json,
        (
            b'{"kind":"role","upstream_id":"s183","model":"s184","weights_version":"s'
            b'185","adapter":"s186","role":"s187"}'
        ),
    ),
    (
        operator_profiles._ApplyBody,
        msgspec.json,
        (b'{"expected_version":1188,"profile":{"s189":"any190"},"author":"s191"}'),
    ),
    (
        operator_profiles._RollbackBody,
        msgspec.json,
        (b'{"expected_version":1192,"version":1193,"author":"s194"}'),
    ),
    (
        platform_configuration._Document,
        msgspec.json,
        (
            b'{"version":1195,"routes":[{"name":"s196","host":"s197","pathPrefix":"s1'
            b'98","routeKind":"s199","timeoutMs":200.5,"sloMs":201.5,"priority":1202,'
            b'"service":"s203","split":[{"service":"s204","weight":205.5}],"attempts"'
            b':1206,"public":true,"resumable":true,"gapSloMs":207.5}],"services":[{"n'
            b'ame":"s208","maxConns":1209,"engine":{"slots":1210,"kvCapacity":1211,"k'
            b'vBytes":1212,"linkMbps":213.5},"kvStoreAddr":"s214","zone":"s215","kvCa'
            b'pacity":1216}],"limits":{"maxHeaderBytes":1217,"maxBodyBytes":1218,"hea'
            b'derTimeoutMs":219.5,"idleTimeoutMs":220.5},"tenants":[{"name":"s221","a'
            b'piKeys":["s222"],"priority":1223,"isolated":true}]}'
        ),
    ),
    (
        platform_configuration._Engine,
        msgspec.json,
        (b'{"slots":1224,"kvCapacity":1225,"kvBytes":1226,"linkMbps":227.5}'),
    ),
    (
        platform_configuration._Limits,
        msgspec.json,
        (
            b'{"maxHeaderBytes":1228,"maxBodyBytes":1229,"headerTimeoutMs":230.5,"idl'
            b'eTimeoutMs":231.5}'
        ),
    ),
    (
        platform_configuration._Route,
        msgspec.json,
        (
            b'{"name":"s232","host":"s233","pathPrefix":"s234","routeKind":"s235","ti'
            b'meoutMs":236.5,"sloMs":237.5,"priority":1238,"service":"s239","split":['
            b'{"service":"s240","weight":241.5}],"attempts":1242,"public":true,"resum'
            b'able":true,"gapSloMs":243.5}'
        ),
    ),
    (
        platform_configuration._Service,
        msgspec.json,
        (
            b'{"name":"s244","maxConns":1245,"engine":{"slots":1246,"kvCapacity":1247'
            b',"kvBytes":1248,"linkMbps":249.5},"kvStoreAddr":"s250","zone":"s251","k'
            b'vCapacity":1252}'
        ),
    ),
    (
        platform_configuration._Share,
        msgspec.json,
        (b'{"service":"s253","weight":254.5}'),
    ),
    (
        platform_configuration._Tenant,
        msgspec.json,
        (b'{"name":"s255","apiKeys":["s256"],"priority":1257,"isolated":true}'),
    ),
    (platform_engine_control._Model, msgspec.json, (b'{"name":"s258","version":1259}')),
    (
        platform_engine_control._Report,
        msgspec.json,
        (b'{"models":[{"name":"s260","version":1261}],"busy":true,"sequence":1262}'),
    ),
    (
        platform_settings.Bounds,
        msgspec.json,
        (
            b'{"drainMs":263.5,"graceS":264.5,"configMs":265.5,"retryRatio":266.5,"re'
            b'tryWindowS":267.5,"retrySlack":268.5,"leaseMs":269.5,"versionMs":270.5}'
        ),
    ),
    (
        platform_settings.Listen,
        msgspec.json,
        (b'{"front":"s271","readyAddr":"s272","controlAddr":"s273"}'),
    ),
    (
        platform_settings.NodeSettings,
        msgspec.json,
        (
            b'{"nodeName":"s274","ip":"s275","zone":"s276","portRange":[1277,1278],"s'
            b'eeds":["s279"],"listen":{"front":"s280","readyAddr":"s281","controlAddr'
            b'":"s282"},"bounds":{"drainMs":283.5,"graceS":284.5,"configMs":285.5,"re'
            b'tryRatio":286.5,"retryWindowS":287.5,"retrySlack":288.5,"leaseMs":289.5'
            b',"versionMs":290.5},"platform":{"addr":"s291","ttlMinMs":1292},"zones":'
            b'{"s293":"s294"},"path":"s295","ignoredFields":["s296"]}'
        ),
    ),
    (platform_settings.Store, msgspec.json, (b'{"addr":"s297","ttlMinMs":1298}')),
    (platform_store_client._Done, msgspec.json, (b'{"rev":1299}')),
    (
        platform_store_client._Item,
        msgspec.json,
        (b'{"key":"s300","rev":1301,"value":"s302","lease":1303,"removed":true}'),
    ),
    (
        platform_store_client._Items,
        msgspec.json,
        (
            b'{"asOf":1304,"items":[{"key":"s305","rev":1306,"value":"s307","lease":1'
            b'308,"removed":true}],"morePages":true,"events":[{"key":"s309","rev":131'
            b'0,"value":"s311","lease":1312,"removed":true}]}'
        ),
    ),
    (platform_store_client._Lease, msgspec.json, (b'{"ttlMs":313.5,"lease":1314}')),
    (
        platform_upstream_entries._Entry,
        msgspec.json,
        (
            b'{"service":"s315","addr":"s316","zone":"s317","slots":1318,"state":"dra'
            b'ining","born":1319,"models":[{"name":"s320","version":1321}]}'
        ),
    ),
    (
        platform_upstream_entries._Model,
        msgspec.json,
        (b'{"name":"s322","version":1323}'),
    ),
    (
        platform_upstream_entries._Weights,
        msgspec.json,
        (b'{"model":"s324","version":1325}'),
    ),
    (
        store_instance_list.InstanceList,
        msgspec.json,
        (
            b'{"instances":[{"id":"s390","address":"s391","failure_domain":"s392","st'
            b'ate":"gone"}],"upstreams":[{"id":"s393","state":"s394"}]}'
        ),
    ),
    (
        store_instance_list.ListedInstance,
        msgspec.json,
        (b'{"id":"s395","address":"s396","failure_domain":"s397","state":"gone"}'),
    ),
    (
        store_instance_list.ListedUpstream,
        msgspec.json,
        (b'{"id":"s398","state":"s399"}'),
    ),
    (store_kv_http._Refusal, msgspec.json, (b'{"code":1400}')),
    (
        telemetry_burn.BurnClass,
        msgspec.json,
        (
            b'{"profile":"s401","work_class":"s402","rank":1403,"ttft":"s404","series'
            b'":[[405.5]],"worst":[{"request_id":"s406","client_account":"s407","memb'
            b'er":"s408","profile":"s409","work_class":"s410","rank":1411,"is_deferra'
            b'ble":true,"ttft_target_ms":412.5,"n_prompt_bytes":1413,"started_wall_ms'
            b'":1414,"admission_wait_ms":415.5,"attempts":[{"upstream_id":"s416","cho'
            b'sen_at_ms":417.5,"n_candidates":1418,"n_prompt_tokens":1419,"n_hit_toke'
            b'ns":1420,"n_import_blocks":1421,"estimated_ttft_ms":422.5,"terms_ms":{"'
            b's423":424.5},"ttft_ms":425.5,"failure":"s426"}],"ttft_ms":427.5,"total_'
            b'ms":428.5,"n_tokens":1429,"outcome":"s430","not_run":"s431","is_on_time'
            b'":true}]}'
        ),
    ),
    (
        telemetry_burn.BurnDocument,
        msgspec.json,
        (
            b'{"instance_id":"s432","objective":433.5,"slot_ms":434.5,"short_ms":435.'
            b'5,"long_ms":436.5,"covered_ms":437.5,"rows":[{"profile":"s438","work_cl'
            b'ass":"s439","rank":1440,"client_account":"s441","target_ms":442.5,"n_sh'
            b'ort":1443,"n_short_bad":1444,"n_long":1445,"n_long_bad":1446}],"classes'
            b'":[{"profile":"s447","work_class":"s448","rank":1449,"ttft":"s450","ser'
            b'ies":[[451.5]],"worst":[{"request_id":"s452","client_account":"s453","m'
            b'ember":"s454","profile":"s455","work_class":"s456","rank":1457,"is_defe'
            b'rrable":true,"ttft_target_ms":458.5,"n_prompt_bytes":1459,"started_wall'
            b'_ms":1460,"admission_wait_ms":461.5,"attempts":[{"upstream_id":"s462","'
            b'chosen_at_ms":463.5,"n_candidates":1464,"n_prompt_tokens":1465,"n_hit_t'
            b'okens":1466,"n_import_blocks":1467,"estimated_ttft_ms":468.5,"terms_ms"'
            b':{"s469":470.5},"ttft_ms":471.5,"failure":"s472"}],"ttft_ms":473.5,"tot'
            b'al_ms":474.5,"n_tokens":1475,"outcome":"s476","not_run":"s477","is_on_t'
            b'ime":true}]}],"n_uncounted_accounts":1478}'
        ),
    ),
    (
        telemetry_burn.BurnRow,
        msgspec.json,
        (
            b'{"profile":"s479","work_class":"s480","rank":1481,"client_account":"s48'
            b'2","target_ms":483.5,"n_short":1484,"n_short_bad":1485,"n_long":1486,"n'
            b'_long_bad":1487}'
        ),
    ),
    (
        telemetry_decisions.AttemptRecord,
        msgspec.json,
        (
            b'{"upstream_id":"s488","chosen_at_ms":489.5,"n_candidates":1490,"n_promp'
            b't_tokens":1491,"n_hit_tokens":1492,"n_import_blocks":1493,"estimated_tt'
            b'ft_ms":494.5,"terms_ms":{"s495":496.5},"ttft_ms":497.5,"failure":"s498"'
            b"}"
        ),
    ),
    (
        telemetry_decisions.DecisionRecord,
        msgspec.json,
        (
            b'{"request_id":"s499","client_account":"s500","member":"s501","profile":'
            b'"s502","work_class":"s503","rank":1504,"is_deferrable":true,"ttft_targe'
            b't_ms":505.5,"n_prompt_bytes":1506,"started_wall_ms":1507,"admission_wai'
            b't_ms":508.5,"attempts":[{"upstream_id":"s509","chosen_at_ms":510.5,"n_c'
            b'andidates":1511,"n_prompt_tokens":1512,"n_hit_tokens":1513,"n_import_bl'
            b'ocks":1514,"estimated_ttft_ms":515.5,"terms_ms":{"s516":517.5},"ttft_ms'
            b'":518.5,"failure":"s519"}],"ttft_ms":520.5,"total_ms":521.5,"n_tokens":'
            b'1522,"outcome":"s523","not_run":"s524","is_on_time":true}'
        ),
    ),
    (
        upstreams_engine_messages.CacheEvent,
        msgspec.json,
        (b'{"seq":1525,"kind":"s526","hashes":["s527"]}'),
    ),
    (
        upstreams_engine_messages.CacheEvents,
        msgspec.json,
        (
            b'{"incarnation":"s528","events":[{"seq":1529,"kind":"s530","hashes":["s5'
            b'31"]}],"oldest_seq":1532}'
        ),
    ),
    (
        upstreams_engine_messages.CacheTransfer,
        msgspec.json,
        (b'{"cache_salt":"s533","hashes":["s534"],"store":"s535"}'),
    ),
    (upstreams_engine_messages.CacheTransferred, msgspec.json, (b'{"n_blocks":1536}')),
    (
        upstreams_engine_messages.EngineChoice,
        msgspec.json,
        (b'{"index":1537,"text":"s538","finish_reason":"s539"}'),
    ),
    (
        upstreams_engine_messages.EngineChunk,
        msgspec.json,
        (
            b'{"id":"s540","stream":"s541","offset":1542,"choices":[{"index":1543,"te'
            b'xt":"s544","finish_reason":"s545"}],"weights":"s546","cache_salt":"s547'
            b'","n_tokens":1548}'
        ),
    ),
    (
        upstreams_engine_messages.LoadReport,
        msgspec.json,
        (
            b'{"incarnation":"s549","models":["s550"],"weights_version":"s551","n_run'
            b'ning":1552,"n_waiting":1553,"n_waiting_tokens":1554,"prefill_tokens_per'
            b'_s":555.5,"inter_token_ms":556.5,"n_cached_blocks":1557,"n_cache_blocks'
            b'":1558,"state":"s559","adapters":["s560"]}'
        ),
    ),
    (
        upstreams_order_messages.EngineOrder,
        msgspec.json,
        (
            b'{"order_id":"s561","kind":"s562","model":"s563","weights_version":"s564'
            b'","adapter":"s565","role":"s566","fencing":1567}'
        ),
    ),
    (
        upstreams_order_messages.EngineOrderState,
        msgspec.json,
        (
            b'{"highest_fencing":1568,"loading":"s569","models":["s570"],"weights_ver'
            b'sion":"s571","adapters":["s572"],"role":"s573","last_order_id":"s574"}'
        ),
    ),
    (
        upstreams_order_messages.OrderRefusal,
        msgspec.json,
        (b'{"highest_fencing":1575}'),
    ),
]


@pytest.mark.parametrize(("kind", "encoding", "encoded"), ENCODED)
def test_value_of_older_release_is_decoded_and_encoded_alike(kind, encoding, encoded):
    value = encoding.decode(encoded, type=kind)
    assert encoding.encode(value) == encoded
